package scheduler

import "errors"

// CloseRecord returns the encoded record that an owner writes when it stops cleanly.
func CloseRecord() []byte {
	data, err := record{Kind: recordClose}.encode()
	if err != nil {
		panic(err)
	}
	return data
}

// IsStart reports whether an encoded record is that of a start.
func IsStart(data []byte) bool {
	start := false
	_ = decodeRecords(data, func(r record) { start = r.Kind == recordStart })
	return start
}

// IsNotRun reports whether an error says that nothing was accepted.
func IsNotRun(err error) bool { return errors.Is(err, ErrNotRun) || errors.Is(err, ErrNotOwner) }
