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

// folderArgument is the argument for the folder of declarations that a command reads.
type folderArgument struct {
	Folder string `positional-arg-name:"FOLDER" description:"folder of declarations (*.ini)"`
}

// files reads the declarations and validates them.
func (f folderArgument) files() ([]loader.File, error) {
	files, err := loader.ReadFolder(os.DirFS(f.Folder))
	if err != nil {
		return nil, err
	}
	_, err = configurer.Parse(files...)
	return files, err
}

// reasonOption is the written reason that each change requires.
type reasonOption struct {
	Reason string `long:"reason" required:"yes" value-name:"TEXT" description:"why; goes into the history"`
}

var (
	errPartial    = errors.New("not yet in force on all entry VMs")
	errIncomplete = errors.New("some entry VMs were not reached")
)

// printAccepted takes the results of a call that changes declarations, and returns err
// if the call failed. Otherwise it prints the new revision and the state of each entry
// VM, and returns an error with exitPartial if some are not at the new revision yet.
func (e *environment) printAccepted(accepted configurer.ChangeResult, err error) error {
	if err != nil {
		return err
	}
	err = e.print(accepted, func(w io.Writer) error {
		printLine(w, "accepted as revision", accepted.Revision())
		for _, vm := range accepted.VMRevisions() {
			printLine(w, " ", describeVM(vm, accepted.Revision()))
		}
		return nil
	})
	if err == nil && !accepted.Everywhere() {
		return &exitError{exitPartial, errPartial}
	}
	return err
}

// describeVM returns one line on an entry VM: whether the revision is in force there, an
// older one is, or the VM was not reached.
func describeVM(vm configurer.VMRevision, revision uint64) string {
	switch {
	case vm.Err() != nil:
		return fmt.Sprintf("%s: not reached: %v", vm.VM(), vm.Err())
	case vm.Revision() < revision:
		return fmt.Sprintf("%s: still at revision %d", vm.VM(), vm.Revision())
	}
	return vm.VM() + ": in force"
}

// expiryAfter returns the time d from now, rounded up to a second, or the zero time
// if d is 0.
func expiryAfter(d time.Duration) time.Time {
	if d == 0 {
		return time.Time{}
	}
	return time.Now().Add(d + time.Second - 1).UTC().Truncate(time.Second)
}

// background returns the context of a command. It is never cancelled: a signal ends
// the process.
func background() context.Context { return context.Background() }
