// Package tarragonwell defines the core types of the load balancer and the
// interfaces that have more than one implementation. The packages below it make
// the decisions; they open no sockets, encode no messages and receive the current
// time as a parameter.
package tarragonwell
