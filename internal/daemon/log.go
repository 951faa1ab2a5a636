package daemon

import (
	"io"
	"log/slog"
)

// NewLogger returns the logger of a process, which writes to w. Lines are JSON if form is
// "json", and text for any other form.
func NewLogger(w io.Writer, form string) *slog.Logger {
	if form == "json" {
		return slog.New(slog.NewJSONHandler(w, nil))
	}
	return slog.New(slog.NewTextHandler(w, nil))
}
