package journaler

import "context"

// Close admits no more records, writes the queued ones and a final snapshot for the
// next owner, and returns when that is done. If the context ends first, records in
// flight are left with an unknown outcome and Close returns the context's error.
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
	if cancel := j.preventStart(); cancel != nil {
		cancel()
		<-j.done
		return
	}
	j.end(ErrUnavailable)
}

// preventStart ends the journal if its writer has not been started, so that it never
// will be. Otherwise it returns the cancel function of the writer.
func (j *Journaler) preventStart() context.CancelFunc {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.cancel == nil && j.endErr == nil {
		j.endErr = ErrUnavailable
		close(j.done)
	}
	return j.cancel
}

// writeFinalSnapshot writes a snapshot unless the newest snapshot covers all segments.
func (j *Journaler) writeFinalSnapshot(ctx context.Context) {
	j.snapshotWrites.Wait()
	if ctx.Err() != nil || j.snapshotter == nil || j.ring.sequence == j.snapshotSequence {
		return
	}
	if err := j.writeSnapshot(ctx, j.capture()); err != nil {
		j.log.Warn("final snapshot failed", "sequence", j.ring.sequence, "err", err)
	}
}
