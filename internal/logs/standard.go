package logs

import (
	stdlog "log"
	"strings"

	"github.com/charmbracelet/log"
)

// maxStandardBytes bounds the text of a line of the standard logger.
const maxStandardBytes = 200

// RedirectStandard makes the standard logger, to which net/http writes what servers send
// out of turn, write to l.
func RedirectStandard(l *log.Logger) {
	stdlog.SetFlags(0)
	stdlog.SetOutput(&standardWriter{
		log: l,
	})
}

// standardWriter receives the lines of the standard logger.
type standardWriter struct {
	log *log.Logger
}

// Write implements io.Writer. It never fails.
func (w *standardWriter) Write(line []byte) (int, error) {
	text := string(line[:min(len(line), maxStandardBytes)])
	w.log.Warn("library", "text", strings.TrimSpace(strings.ToValidUTF8(text, "")))
	return len(line), nil
}
