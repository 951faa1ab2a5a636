package daemon

import (
	"io"
	"log/slog"
)

// NewLogger returns a process's logger, in the form json, or as text for any other
// form.
func NewLogger(w io.Writer, form string) *slog.Logger {
	if form == "json" {
		return slog.New(slog.NewJSONHandler(w, nil))
	}
	return slog.New(slog.NewTextHandler(w, nil))
}
