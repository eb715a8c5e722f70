package operation

import "github.com/rotisserie/eris"

var (
	// ErrFull means that too many tickets are outstanding.
	ErrFull = eris.New("too many tickets are outstanding")
	// ErrClosed means that the table has been handed over.
	ErrClosed = eris.New("the operations were handed over")
	// ErrWrongSuccessor means that a hand-over was meant for another incarnation.
	ErrWrongSuccessor = eris.New("the hand-over names another incarnation")
)
