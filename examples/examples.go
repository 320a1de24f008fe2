// Package examples contains the declarations and settings of two example deployments,
// embedded in the binary, and the sizes of their fleets.
package examples

import (
	"embed"
	"errors"
	"fmt"
	"io/fs"
)

//go:embed essiccatoi lychnos
var files embed.FS

// ErrUnknownExample means that there is no example with that name.
var ErrUnknownExample = errors.New("unknown example")

// Names returns the names of the examples.
func Names() []string { return []string{"essiccatoi", "lychnos"} }

// Declarations returns the folder with an example's declarations, or ErrUnknown.
func Declarations(name string) (fs.FS, error) { return folder(name, "declarations") }

// Settings returns the folder with the settings of an example's entry VMs, one file for
// each VM, or ErrUnknown.
func Settings(name string) (fs.FS, error) { return folder(name, "settings") }

// folder returns the part, declarations or settings, of an example, or ErrUnknown.
func folder(name, part string) (fs.FS, error) {
	if _, err := fs.Stat(files, name+"/"+part); err != nil {
		return nil, fmt.Errorf("%w: %q", ErrUnknownExample, name)
	}
	return fs.Sub(files, name+"/"+part)
}

// Sizes holds the current numbers of VMs of a deployment, and the size of a worker.
type Sizes struct {
	entries   int   // entry VMs in all data centres
	workers   int   // in all data centres
	executors int   // in all data centres
	cpu       int64 // of a worker, in thousandths of a processor
	memory    int64 // of a worker, in MiB
}

// Entries returns the number of entry VMs in all data centres.
func (s Sizes) Entries() int { return s.entries }

// Workers returns the number of workers in all data centres.
func (s Sizes) Workers() int { return s.workers }

// Executors returns the number of executors in all data centres.
func (s Sizes) Executors() int { return s.executors }

// CPU returns the processors of a worker, in thousandths of a processor.
func (s Sizes) CPU() int64 { return s.cpu }

// Memory returns the memory of a worker in MiB.
func (s Sizes) Memory() int64 { return s.memory }

// SizesOf returns the current sizes of an example, or ErrUnknown.
func SizesOf(name string) (Sizes, error) {
	switch name {
	case "essiccatoi":
		return Sizes{entries: 9, workers: 50, executors: 50, cpu: 16_000, memory: 64 << 10}, nil
	case "lychnos":
		return Sizes{entries: 7, workers: 50, executors: 50, cpu: 32_000, memory: 64 << 10}, nil
	}
	return Sizes{}, fmt.Errorf("%w: %q", ErrUnknownExample, name)
}
