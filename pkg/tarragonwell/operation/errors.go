package operation

import "github.com/rotisserie/eris"

var (
	// ErrFull means that more tickets would be outstanding than Table.MaxTickets.
	ErrFull = eris.New("too many tickets are outstanding")
	// ErrClosed means that the table has been closed for its hand-over to a successor,
	// or that Open has not been called.
	ErrClosed = eris.New("the operations were handed over")
	// ErrWrongSuccessor means that a hand-over is addressed to another incarnation.
	ErrWrongSuccessor = eris.New("the hand-over names another incarnation")
)
