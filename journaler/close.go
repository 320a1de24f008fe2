package journaler

import "context"

// Close admits no more records, writes what is queued and a last snapshot for
// the next owner, and returns when that is done. If the context ends first, what
// is under way is left unknown and the context's error is returned.
func (j *Journaler) Close(ctx context.Context) error {
	j.mu.Lock()
	j.closing = true
	open := j.stop != nil
	j.mu.Unlock()
	if !open {
		j.Abort()
		return nil
	}
	j.wake()
	select {
	case <-j.stopped:
		return nil
	case <-ctx.Done():
		j.Abort()
		return ctx.Err()
	}
}

// Abort ends the journal at once, without writing anything more. A segment
// under way is left unknown. A journal that isn't open yet won't open any more.
func (j *Journaler) Abort() {
	if stop := j.halt(); stop != nil {
		stop()
		<-j.stopped
		return
	}
	j.end(ErrUnavailable)
}

// halt returns what stops the writer, or notes that there won't be one.
func (j *Journaler) halt() context.CancelFunc {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.stop == nil && j.ended == nil {
		j.ended = ErrUnavailable
		close(j.stopped)
	}
	return j.stop
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
