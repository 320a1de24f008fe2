package elector

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"filberthaven.example/keeper"
)

// renew writes this VM's record at each renew interval, until the context ends
// or a newer process has replaced this one. After a conflict with another write
// it retries at once with the new version.
func (e *Elector) renew(ctx context.Context) error {
	key := vmPrefix + e.vm.id
	record := vmRecord{Incarnation: e.vm.incarnation, Address: e.vm.address, Centre: e.vm.centre}
	var version uint64
	for {
		due := time.Now().Add(e.renewInterval)
		record.Count++
		record.Leaving = e.isLeaving()
		newVersion, err := e.writeRecord(ctx, key, record, version)
		switch {
		case ctx.Err() != nil:
			return ctx.Err()
		case err == nil:
			version = newVersion
		default:
			e.log.Warn("failed to renew vm record", "vm", e.vm.id, "err", err)
			previous, conflict := version, errors.Is(err, keeper.ErrConflict)
			if version, err = e.reloadVersion(ctx, key, previous); err != nil {
				return err
			}
			if conflict && version != previous {
				continue
			}
		}
		if err := sleep(ctx, time.Until(due), e.renewNow); err != nil {
			return err
		}
	}
}

// sleep waits for d, a wake-up or the end of the context, and returns the
// context's error.
func sleep(ctx context.Context, d time.Duration, wakeup <-chan struct{}) error {
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-wakeup:
	case <-ctx.Done():
	}
	return ctx.Err()
}

// writeRecord writes a record if its version in the store is expect, and merges
// a successful write into the mirror. It returns the new version.
func (e *Elector) writeRecord(ctx context.Context, key string, record any, expect uint64) (uint64, error) {
	value, err := json.Marshal(record)
	if err != nil {
		return 0, err
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	version, err := e.store.Put(callCtx, key, value, expect, 0)
	if err != nil {
		return 0, err
	}
	e.mirror.Merge(keeper.NewEntry(key, value, version, false))
	return version, nil
}

// reloadVersion reads the version of this VM's record after a failed renewal: 0
// if the record is deleted, or the given version if it can't be read. It returns
// ErrReplaced if a newer process has written the record.
func (e *Elector) reloadVersion(ctx context.Context, key string, version uint64) (uint64, error) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	entry, err := e.store.Get(callCtx, key)
	if errors.Is(err, keeper.ErrNotFound) {
		return 0, nil // deleted by a sweep while this VM was partitioned
	}
	if err != nil || entry.Version() < version {
		return version, nil
	}
	record, ok := decodeRecord[vmRecord](entry)
	if ok && record.Incarnation > e.vm.incarnation {
		return 0, ErrReplaced
	}
	return entry.Version(), nil
}
