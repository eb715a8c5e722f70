package operations

import (
	"encoding/base64"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	pb "github.com/tarragonwell/tarragonwell/pkg/api/tarragonwell/v1"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
)

// maxTicketLength bounds the text of a ticket, in bytes.
const maxTicketLength = 512

// ErrMalformedTicket is wrapped by the errors of ParseTicket and TicketFromProto.
var ErrMalformedTicket = eris.New("the ticket can't be read")

// FormatTicket encodes a ticket for a header.
func FormatTicket(t tarragonwell.Ticket) string {
	content, err := proto.Marshal(TicketToProto(t))
	if err != nil {
		// Marshal fails only on strings that aren't UTF-8, and Home is an address
		// from the validated settings.
		return ""
	}
	return base64.RawURLEncoding.EncodeToString(content)
}

// ParseTicket decodes a ticket from a header. It fails with ErrMalformedTicket.
func ParseTicket(text string) (tarragonwell.Ticket, error) {
	if len(text) > maxTicketLength {
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

// TicketToProto converts a ticket to its protobuf message.
func TicketToProto(t tarragonwell.Ticket) *pb.Ticket {
	return &pb.Ticket{
		Home:        t.Home,
		Incarnation: t.Incarnation[:],
		Sequence:    t.Sequence,
		ExpiryMs:    uint64(t.Expiry.Milliseconds()),
		Mac:         t.MAC[:],
	}
}

// TicketFromProto converts a protobuf message to a ticket. It fails with
// ErrMalformedTicket.
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
