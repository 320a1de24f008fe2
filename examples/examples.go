// Package examples holds ready declarations and settings of two deployments.
package examples

import (
	"embed"
	"errors"
	"fmt"
	"io/fs"
)

//go:embed essiccatoi lychnos
var files embed.FS

// ErrUnknown means that there is no example of that name.
var ErrUnknown = errors.New("unknown example")

// Names returns the names of the examples.
func Names() []string { return []string{"essiccatoi", "lychnos"} }

// Declarations returns the folder of an example's declarations, or ErrUnknown.
func Declarations(name string) (fs.FS, error) { return folder(name, "declarations") }

// Settings returns the folder of the settings of an example's entry VMs, one file
// each, or ErrUnknown.
func Settings(name string) (fs.FS, error) { return folder(name, "settings") }

func folder(name, part string) (fs.FS, error) {
	if _, err := fs.Stat(files, name+"/"+part); err != nil {
		return nil, fmt.Errorf("%w: %q", ErrUnknown, name)
	}
	return fs.Sub(files, name+"/"+part)
}
