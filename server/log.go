package server

import (
	"io"

	"github.com/hashicorp/go-hclog"
)

// NewLogger returns the logger that the settings ask for. Each part of the
// program adds its own name as a prefix.
func NewLogger(logging Logging, w io.Writer) hclog.Logger {
	return hclog.New(&hclog.LoggerOptions{
		Name:       "filberthaven",
		Level:      hclog.LevelFromString(logging.Level()),
		JSONFormat: logging.JSON(),
		Output:     w,
	})
}
