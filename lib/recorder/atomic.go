package recorder

import (
	"errors"

	"github.com/ansel1/merry/v2"
)

// WriteAtomic replaces a file atomically by one with a checksum: a crash leaves the
// old or the new file. Its errors are ErrFull, with which the old file remains, and
// ErrFailed.
func WriteAtomic(files FileSystem, name string, body []byte) error {
	temporary := name + ".new"
	file, err := files.Create(temporary)
	if err != nil {
		return merry.Errorf("%w: %v; free space on the disk of the data folder", ErrFull, err)
	}
	if _, err := file.Write(appendFrame(nil, 0, 0, body)); err != nil {
		// The next attempt overwrites the temporary file; its removal only frees space.
		err = errors.Join(err, file.Close(), files.Remove(temporary))
		return merry.Errorf("%w: %v; free space on the disk of the data folder", ErrFull, err)
	}
	err = errors.Join(file.Sync(), file.Close())
	if err == nil {
		err = files.Rename(temporary, name)
	}
	if err == nil {
		err = files.Sync()
	}
	if err != nil {
		return merry.Errorf("%w: %v; replace the disk, or start the keeper again to find out what is on it", ErrFailed, err)
	}
	return nil
}

// ReadChecked reads a file that WriteAtomic has written. For a missing file its
// error is fs.ErrNotExist, for one that does not match its checksum ErrDamaged.
func ReadChecked(files FileSystem, name string) ([]byte, error) {
	data, err := files.Read(name)
	if err != nil {
		return nil, err
	}
	body, _, err := readFrame(data, 0, 0, 0)
	if err != nil {
		return nil, merry.Errorf("%w: file %s: %v", ErrDamaged, name, err)
	}
	return body, nil
}
