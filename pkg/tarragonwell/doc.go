// Package tarragonwell defines the core types of the load balancer and the
// interfaces that have more than one implementation. The packages below it make
// the decisions; they open no sockets, encode no messages and receive the current
// time as a parameter.
//
// Terms that are used throughout:
//
//   - An instance is one installation of the load balancer with a peer address of its
//     own. Each start of its process is an incarnation. All instances together are the
//     fleet; peers are the other instances.
//   - A target is a backend server of a service.
//   - The platform is the operators' service that publishes the rules file and the
//     list of targets and instances. Instances only read from it. It has one of two
//     protocols: tarragonwell's own one, or that of the prepared platform, a key-value
//     store; see settingsfile.Settings.
//   - Leaving is said of a target that is draining, and of an instance that is
//     shutting down.
//   - A task is a goroutine that owns its state and receives messages through its
//     mailbox.
//   - A ticket identifies an operation, a request that must run at most once.
package tarragonwell
