package common

// The words of the schema's ListedInstance, on the platform's list and between
// peers.
const (
	// OwnService is the name under which the system's own instances are listed.
	OwnService   = "tarragonwell"
	StateLeaving = "leaving"
	StateLive    = "live"
)
