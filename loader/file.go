package loader

import (
	"fmt"
	"io/fs"
	"os"
	"path"
)

// FileLimit is the size in bytes above which a Decoder refuses a file.
const FileLimit = 4 << 20

// File is the text of one INI file.
type File struct {
	name string // as in errors
	text []byte
}

// NewFile returns a file with the name that errors print.
func NewFile(name string, text []byte) File { return File{name: name, text: text} }

// Name returns the name that errors print.
func (f File) Name() string { return f.name }

// Text returns the content of the file. The caller must not modify it.
func (f File) Text() []byte { return f.text }

// ReadFile reads the file at path.
func ReadFile(path string) (File, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return File{}, err
	}
	return NewFile(path, text), nil
}

// ReadFolder reads all files of the folder whose names end in .ini, in the order of
// their names.
func ReadFolder(folder fs.FS) ([]File, error) {
	names, err := fs.Glob(folder, "*.ini")
	if err != nil {
		return nil, err
	}
	if len(names) == 0 {
		return nil, fmt.Errorf("no .ini file: %w", fs.ErrNotExist)
	}
	files := make([]File, 0, len(names))
	for _, name := range names {
		text, err := fs.ReadFile(folder, name)
		if err != nil {
			return nil, err
		}
		files = append(files, NewFile(path.Base(name), text))
	}
	return files, nil
}
