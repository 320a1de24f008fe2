package commands

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"filberthaven.example/configurer"
	"filberthaven.example/loader"
)

// folderArgument is the folder of declarations that a command reads.
type folderArgument struct {
	Folder string `positional-arg-name:"FOLDER" description:"folder of declarations (*.ini)"`
}

// files reads and checks the declarations.
func (f folderArgument) files() ([]loader.File, error) {
	files, err := loader.ReadFolder(os.DirFS(f.Folder))
	if err != nil {
		return nil, err
	}
	_, err = configurer.Parse(files...)
	return files, err
}

// reasonOption is the written reason that each change takes.
type reasonOption struct {
	Reason string `long:"reason" required:"yes" value-name:"TEXT" description:"why; goes into the history"`
}

var (
	errPartly     = errors.New("not yet in force on all entry VMs")
	errIncomplete = errors.New("some entry VMs were not reached")
)

// printAccepted prints a change and where it is in force.
func (e *environment) printAccepted(accepted configurer.Accepted, err error) error {
	if err != nil {
		return err
	}
	err = e.print(accepted, func(w io.Writer) error {
		printLine(w, "accepted as revision", accepted.Revision())
		for _, holding := range accepted.VMRevisions() {
			printLine(w, " ", describe(holding, accepted.Revision()))
		}
		return nil
	})
	if err == nil && !accepted.Everywhere() {
		return &exitError{exitPartly, errPartly}
	}
	return err
}

// describe says what an entry VM has in force.
func describe(h configurer.VMRevision, revision uint64) string {
	switch {
	case h.Err() != nil:
		return fmt.Sprintf("%s: not reached: %v", h.VM(), h.Err())
	case h.Revision() < revision:
		return fmt.Sprintf("%s: still at revision %d", h.VM(), h.Revision())
	}
	return h.VM() + ": in force"
}

// after returns the time that lies d after now, rounded up to a second, or the zero time
// without d.
func after(d time.Duration) time.Time {
	if d == 0 {
		return time.Time{}
	}
	return time.Now().Add(d + time.Second - 1).UTC().Truncate(time.Second)
}

// background is the context of a command; a signal ends the process itself.
func background() context.Context { return context.Background() }
