package common

// The words of the schema's ListedInstance, on the platform's list and between
// peers.
const (
	// InstanceServiceName is the name under which the system's own instances are listed.
	InstanceServiceName = "tarragonwell"
	StateLeaving        = "leaving"
	StateLive           = "live"
)
