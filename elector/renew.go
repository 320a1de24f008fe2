package elector

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"filberthaven.example/keeper"
)

// renew writes this VM's record at each interval.
func (e *Elector) renew(ctx context.Context) error {
	key := vmPrefix + e.vm.id
	record := vmRecord{Incarnation: e.vm.incarnation, Address: e.vm.address, Centre: e.vm.centre}
	var version uint64
	for {
		due := time.Now().Add(e.renewal)
		record.Count++
		record.Leaving = e.isLeaving()
		written, err := e.writeRecord(ctx, key, record, version)
		switch {
		case ctx.Err() != nil:
			return ctx.Err()
		case err == nil:
			version = written
		default:
			e.log.Warn("renewal failed", "vm", e.vm.id, "err", err)
			before, conflict := version, errors.Is(err, keeper.ErrConflict)
			if version, err = e.recall(ctx, key, before); err != nil {
				return err
			}
			if conflict && version != before {
				continue
			}
		}
		if err := sleep(ctx, time.Until(due), e.hasten); err != nil {
			return err
		}
	}
}

// sleep waits for d, a kick or the end of the context, whose error it returns.
func sleep(ctx context.Context, d time.Duration, kick <-chan struct{}) error {
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-kick:
	case <-ctx.Done():
	}
	return ctx.Err()
}

// writeRecord makes one attempt at a compare-and-swap, and tells the mirror.
func (e *Elector) writeRecord(ctx context.Context, key string, record any, expect uint64) (uint64, error) {
	value, err := json.Marshal(record)
	if err != nil {
		return 0, err
	}
	short, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	version, err := e.store.Put(short, key, value, expect, 0)
	if err != nil {
		return 0, err
	}
	e.mirror.Merge(keeper.NewEntry(key, value, version, false))
	return version, nil
}

// recall returns the version of this VM's record after a failed renewal, and
// ErrReplaced if a newer process wrote it.
func (e *Elector) recall(ctx context.Context, key string, version uint64) (uint64, error) {
	short, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	entry, err := e.store.Get(short, key)
	if errors.Is(err, keeper.ErrNotFound) {
		return 0, nil // swept away while this VM was cut off
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
