package common

// Values of the schema's ListedInstance, in the platform's list and between peers.
const (
	// InstanceServiceName is the service name of the load balancer's own instances.
	InstanceServiceName = "tarragonwell"
	// StateLeaving means that the target or instance accepts no new work.
	StateLeaving = "leaving"
	StateLive    = "live"
)
