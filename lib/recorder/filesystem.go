package recorder

import (
	"errors"
	"io"
	"os"
	"path/filepath"
	"syscall"

	"github.com/ansel1/merry/v2"
)

// FileSystem is the part of a file system that a Recorder needs: one flat
// folder. Tests implement it to inject faults.
type FileSystem interface {
	// Create creates a file, or empties an existing one, and opens it for appending.
	Create(name string) (File, error)
	// Append opens an existing file for appending.
	Append(name string) (File, error)
	// Read returns the content of a file. For a missing file its error is
	// fs.ErrNotExist.
	Read(name string) ([]byte, error)
	// Rename renames a file atomically and replaces an existing file of the new name.
	Rename(from, to string) error
	Remove(name string) error
	// List returns the names of all files in sorted order.
	List() ([]string, error)
	// Sync makes creations, renames and removals durable.
	Sync() error
	// Free returns the number of bytes that can still be written.
	Free() (uint64, error)
}

// File is a file that is open for appending.
type File interface {
	io.Writer
	// Sync makes everything written durable. After an error it is unknown which
	// part of it is durable.
	Sync() error
	// Truncate shortens the file to a size in bytes.
	Truncate(size int64) error
	Close() error
}

// Folder is a FileSystem in a folder on disk.
type Folder struct {
	path string
	lock *os.File
}

// lockName is the name of the file whose lock prevents a second process from using
// the folder.
const lockName = "lock"

const (
	folderMode = 0o700
	fileMode   = 0o600
)

// OpenFolder opens the data folder, creates it if it is missing, and locks it
// against other processes until Close. Two keepers that share a folder would
// overwrite each other's acknowledged data. Its error is ErrUnusable.
func OpenFolder(path string) (*Folder, error) {
	if err := os.MkdirAll(path, folderMode); err != nil {
		return nil, merry.Errorf("%w: %v; set \"data\" to a folder that this user may write", ErrUnusable, err)
	}
	lock, err := os.OpenFile(filepath.Join(path, lockName), os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return nil, merry.Errorf("%w: %v; set \"data\" to a folder that this user may write", ErrUnusable, err)
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		lock.Close()
		return nil, merry.Errorf("%w: %s is in use by another process; stop that one or set another folder", ErrUnusable, path)
	}
	return &Folder{path: path, lock: lock}, nil
}

// Close releases the lock of the folder.
func (f *Folder) Close() error {
	return f.lock.Close()
}

// Create creates a file, or empties an existing one, and opens it for appending.
func (f *Folder) Create(name string) (File, error) {
	return os.OpenFile(filepath.Join(f.path, name), os.O_CREATE|os.O_TRUNC|os.O_APPEND|os.O_WRONLY, fileMode)
}

// Append opens an existing file for appending.
func (f *Folder) Append(name string) (File, error) {
	return os.OpenFile(filepath.Join(f.path, name), os.O_APPEND|os.O_WRONLY, fileMode)
}

// Read returns the content of a file.
func (f *Folder) Read(name string) ([]byte, error) {
	return os.ReadFile(filepath.Join(f.path, name))
}

// Rename renames a file atomically and replaces an existing file of the new name.
func (f *Folder) Rename(from, to string) error {
	return os.Rename(filepath.Join(f.path, from), filepath.Join(f.path, to))
}

// Remove deletes a file.
func (f *Folder) Remove(name string) error {
	return os.Remove(filepath.Join(f.path, name))
}

// List returns the names of all regular files in sorted order, except the lock.
func (f *Folder) List() ([]string, error) {
	found, err := os.ReadDir(f.path)
	if err != nil {
		return nil, err
	}
	names := make([]string, 0, len(found))
	for _, entry := range found {
		if entry.Type().IsRegular() && entry.Name() != lockName {
			names = append(names, entry.Name())
		}
	}
	return names, nil
}

// Sync makes creations, renames and removals durable.
func (f *Folder) Sync() error {
	folder, err := os.Open(f.path)
	if err != nil {
		return err
	}
	return errors.Join(folder.Sync(), folder.Close())
}

// Free returns the number of bytes that an unprivileged user can still write.
func (f *Folder) Free() (uint64, error) {
	var stat syscall.Statfs_t
	if err := syscall.Statfs(f.path, &stat); err != nil {
		return 0, err
	}
	return stat.Bavail * uint64(stat.Bsize), nil
}
