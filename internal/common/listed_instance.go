package common

// Values of fields of the message ListedInstance, which occurs in the platform's list
// of targets and instances and in messages between peers.
const (
	// InstanceServiceName is the service name of the load balancer's own instances.
	InstanceServiceName = "tarragonwell"
	// StateLeaving means that the target or instance accepts no new work.
	StateLeaving = "leaving"
	// StateLive means that the target or instance accepts work.
	StateLive = "live"
)
