package commander

import (
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/ansel1/merry/v2"

	"shallotkeel.example/lib/describer"
)

// standardInput is the file name that stands for standard input.
const standardInput = "-"

// readObjects parses the objects of the named files, of every .json and .jsonc
// file in the named directories, and of standard input. An object that is
// defined twice is an error.
func (c *Commander) readObjects(names []string) ([]describer.Object, error) {
	paths, err := expandPaths(names)
	if err != nil {
		return nil, err
	}
	var objects []describer.Object
	pathOf := make(map[describer.Key]string)
	for _, path := range paths {
		text, err := c.readFile(path)
		if err != nil {
			return nil, merry.Errorf("%s: %w", path, err)
		}
		parsed, err := describer.ParseDocument(path, text)
		if err != nil {
			return nil, err
		}
		for _, object := range parsed {
			if first, twice := pathOf[object.Key()]; twice {
				return nil, merry.Errorf("%s %s stands in %s and in %s; keep one", object.Kind, object.Name, first, path)
			}
			pathOf[object.Key()] = path
		}
		objects = append(objects, parsed...)
	}
	return objects, nil
}

func (c *Commander) readFile(path string) ([]byte, error) {
	if path == standardInput {
		return io.ReadAll(c.In)
	}
	return os.ReadFile(path)
}

func expandPaths(names []string) ([]string, error) {
	var paths []string
	for _, name := range names {
		if name == standardInput {
			paths = append(paths, name)
			continue
		}
		info, err := os.Stat(name)
		if err != nil {
			return nil, merry.Errorf("%w; name a file, a directory or - for standard input", err)
		}
		if !info.IsDir() {
			paths = append(paths, name)
			continue
		}
		documents, err := documentsIn(name)
		if err != nil {
			return nil, err
		}
		paths = append(paths, documents...)
	}
	return paths, nil
}

func documentsIn(directory string) ([]string, error) {
	entries, err := os.ReadDir(directory)
	if err != nil {
		return nil, merry.Wrap(err)
	}
	var paths []string
	for _, entry := range entries {
		if strings.HasSuffix(entry.Name(), ".json") || strings.HasSuffix(entry.Name(), ".jsonc") {
			paths = append(paths, filepath.Join(directory, entry.Name()))
		}
	}
	if len(paths) == 0 {
		return nil, merry.Errorf("%s holds no .json or .jsonc file; name a directory of objects", directory)
	}
	slices.Sort(paths)
	return paths, nil
}
