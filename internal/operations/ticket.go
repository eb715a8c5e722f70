package operations

import (
	"encoding/base64"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	pb "github.com/tarragonwell/tarragonwell/pkg/api/tarragonwell/v1"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
)

// maxTicketText bounds the text of a ticket.
const maxTicketText = 512

// ErrMalformedTicket is the root of the errors of a ticket's text.
var ErrMalformedTicket = eris.New("the ticket can't be read")

// FormatTicket writes a ticket for a header.
func FormatTicket(t tarragonwell.Ticket) string {
	content, err := proto.Marshal(TicketToProto(t))
	if err != nil {
		// Marshalling fails only for text that is not UTF-8; the home is an
		// address out of the checked settings.
		return ""
	}
	return base64.RawURLEncoding.EncodeToString(content)
}

// ParseTicket reads a ticket out of a header. It fails with ErrTicket.
func ParseTicket(text string) (tarragonwell.Ticket, error) {
	if len(text) > maxTicketText {
		return tarragonwell.Ticket{}, eris.Wrap(ErrMalformedTicket, "too long")
	}
	content, err := base64.RawURLEncoding.DecodeString(text)
	if err != nil {
		return tarragonwell.Ticket{}, eris.Wrap(ErrMalformedTicket, err.Error())
	}
	var m pb.Ticket
	if err := proto.Unmarshal(content, &m); err != nil {
		return tarragonwell.Ticket{}, eris.Wrap(ErrMalformedTicket, err.Error())
	}
	return TicketFromProto(&m)
}

// TicketToProto turns a ticket into its message.
func TicketToProto(t tarragonwell.Ticket) *pb.Ticket {
	return &pb.Ticket{
		Home:        t.Home,
		Incarnation: t.Incarnation[:],
		Sequence:    t.Sequence,
		ExpiryMs:    uint64(t.Expiry.Milliseconds()),
		Mac:         t.MAC[:],
	}
}

// TicketFromProto turns a message into a ticket. It fails with ErrTicket.
func TicketFromProto(m *pb.Ticket) (tarragonwell.Ticket, error) {
	t := tarragonwell.Ticket{
		Home:     m.GetHome(),
		Sequence: m.GetSequence(),
		Expiry:   time.Duration(m.GetExpiryMs()) * time.Millisecond,
	}
	if len(m.GetIncarnation()) != len(t.Incarnation) || len(m.GetMac()) != len(t.MAC) {
		return tarragonwell.Ticket{}, eris.Wrap(ErrMalformedTicket, "a part has the wrong length")
	}
	copy(t.Incarnation[:], m.GetIncarnation())
	copy(t.MAC[:], m.GetMac())
	return t, nil
}
