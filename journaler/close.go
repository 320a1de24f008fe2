package journaler

import "context"

// Close admits no more records, writes what is queued and a last snapshot for
// the next owner, and returns when that is done. If the context ends first, what
// is under way is left unknown and the context's error is returned.
func (j *Journaler) Close(ctx context.Context) error {
	j.mu.Lock()
	j.closing = true
	j.mu.Unlock()
	j.wake()
	select {
	case <-j.stopped:
		return nil
	case <-ctx.Done():
		j.Abandon()
		return ctx.Err()
	}
}

// Abandon ends the journal at once, without writing anything more. A segment
// under way is left unknown.
func (j *Journaler) Abandon() {
	j.stop()
	<-j.stopped
}

// leave writes the last snapshot, if there is anything new to cover.
func (j *Journaler) leave(ctx context.Context) {
	j.snappings.Wait()
	if ctx.Err() != nil || j.snapshot == nil || j.ring.sequence == j.covered {
		return
	}
	if err := j.keep(ctx, j.capture()); err != nil {
		j.log.Warn("last snapshot failed", "sequence", j.ring.sequence, "err", err)
	}
}
