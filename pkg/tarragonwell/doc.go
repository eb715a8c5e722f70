// Package tarragonwell holds the core types of the load balancer and every
// interface whose behaviour varies. Decisions live in the packages below it;
// they open no sockets, encode no messages and are told the time.
package tarragonwell
