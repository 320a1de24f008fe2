package journaler

import "context"

// Close admits no more records, writes the queued ones and a final snapshot for the
// next owner, and returns when that is done. If the context ends first, records in
// flight are left with an unknown outcome and the context's error is returned.
func (j *Journaler) Close(ctx context.Context) error {
	j.mu.Lock()
	j.closing = true
	open := j.cancel != nil
	j.mu.Unlock()
	if !open {
		j.Abort()
		return nil
	}
	j.wake()
	select {
	case <-j.done:
		return nil
	case <-ctx.Done():
		j.Abort()
		return ctx.Err()
	}
}

// Abort ends the journal at once, without further writes. Records in flight are
// left with an unknown outcome. A journal that is not open yet can't be opened any
// more.
func (j *Journaler) Abort() {
	if cancel := j.halt(); cancel != nil {
		cancel()
		<-j.done
		return
	}
	j.end(ErrUnavailable)
}

// halt returns the cancel function of the writer. Without a writer it returns nil
// and ends the journal, so that none is started.
func (j *Journaler) halt() context.CancelFunc {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.cancel == nil && j.endErr == nil {
		j.endErr = ErrUnavailable
		close(j.done)
	}
	return j.cancel
}

// writeFinalSnapshot writes a snapshot unless the newest one covers all segments.
func (j *Journaler) writeFinalSnapshot(ctx context.Context) {
	j.snapshotWrites.Wait()
	if ctx.Err() != nil || j.snapshotter == nil || j.ring.sequence == j.covered {
		return
	}
	if err := j.writeSnapshot(ctx, j.capture()); err != nil {
		j.log.Warn("final snapshot failed", "sequence", j.ring.sequence, "err", err)
	}
}
