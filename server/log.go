package server

import (
	"io"

	"github.com/hashicorp/go-hclog"
)

// NewLogger returns a logger with the given level and format that writes to w. Each
// component adds its own name as a prefix.
func NewLogger(logging Logging, w io.Writer) hclog.Logger {
	return hclog.New(&hclog.LoggerOptions{
		Name:       "filberthaven",
		Level:      hclog.LevelFromString(logging.Level()),
		JSONFormat: logging.JSON(),
		Output:     w,
	})
}
