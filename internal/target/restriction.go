package target

import (
	"time"

	"github.com/rotisserie/eris"

	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
)

var (
	// ErrLeaving means that nothing was sent because the target is leaving.
	ErrLeaving = eris.New("the target is leaving")
	// ErrBackoff means that nothing was sent because the target asked for it.
	ErrBackoff = eris.New("the target asked to be sent nothing")
	// ErrDrained means that nothing was sent because the target's data centre is drained.
	ErrDrained = eris.New("the data centre of the target is drained")
)

// Restriction keeps a Client from sending anything. It covers calls that were granted
// before the service learned of its reason.
type Restriction struct {
	// Leaving is set if the target is leaving for good.
	Leaving bool
	// Until is when the time for which the target asked to be sent nothing ends; zero if
	// it did not ask.
	Until time.Time
	// Drained is set while the target's data centre is drained.
	Drained bool
}

// restrictionError returns ErrDrained, ErrLeaving or ErrBackoff if nothing may be sent now.
func (cl *Client) restrictionError() error {
	r := cl.restriction.Load()
	switch {
	case r == nil:
		return nil
	case r.Drained:
		return ErrDrained
	case r.Leaving:
		return ErrLeaving
	case cl.options.Common.Clock.Now().Before(r.Until):
		return ErrBackoff
	default:
		return nil
	}
}

// Restrict replaces the client's restriction.
func (cl *Client) Restrict(r Restriction) {
	cl.restriction.Store(&r)
}

// reportNotice reports what the target stated in a response, if it stated anything.
func (cl *Client) reportNotice(n tarragonwell.TargetNotice) {
	if n == (tarragonwell.TargetNotice{}) || cl.options.ReportNotice == nil {
		return
	}
	cl.options.ReportNotice(NoticeReport{
		ID:     cl.options.Listed.ID,
		Born:   cl.options.Listed.Born,
		Notice: n,
	})
}
