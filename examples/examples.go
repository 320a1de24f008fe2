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

// Sizes are today's sizes of a deployment.
type Sizes struct {
	entries   int   // entry VMs over all data centres
	workers   int   // over all data centres
	executors int   // over all data centres
	cpu       int64 // of a worker, in thousandths of a processor
	memory    int64 // of a worker, in MiB
}

// Entries returns the entry VMs over all data centres.
func (s Sizes) Entries() int { return s.entries }

// Workers returns the workers over all data centres.
func (s Sizes) Workers() int { return s.workers }

// Executors returns the executors over all data centres.
func (s Sizes) Executors() int { return s.executors }

// CPU returns the thousandths of a processor of a worker.
func (s Sizes) CPU() int64 { return s.cpu }

// Memory returns the MiB of a worker.
func (s Sizes) Memory() int64 { return s.memory }

// SizesOf returns today's sizes of an example, or ErrUnknown.
func SizesOf(name string) (Sizes, error) {
	switch name {
	case "essiccatoi":
		return Sizes{entries: 9, workers: 50, executors: 50, cpu: 16_000, memory: 64 << 10}, nil
	case "lychnos":
		return Sizes{entries: 7, workers: 50, executors: 50, cpu: 32_000, memory: 64 << 10}, nil
	}
	return Sizes{}, fmt.Errorf("%w: %q", ErrUnknown, name)
}
