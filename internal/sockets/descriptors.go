package sockets

import (
	"math"

	"golang.org/x/sys/unix"
)

const (
	// minReservedDescriptors and reservedDescriptorShare are what is kept of the descriptors
	// for targets, peers, the platform and files: one in reservedDescriptorShare, and at
	// least the minimum.
	minReservedDescriptors  = 64
	reservedDescriptorShare = 4
)

// MaxConnections returns the number of callers' connections that may be open if the process
// may open the given number of descriptors; 0 stands for the limit of the operating system.
func MaxConnections(descriptors int) (int, error) {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return 0, err
	}
	system := int(min(limit.Cur, math.MaxInt32))
	if descriptors == 0 || descriptors > system {
		descriptors = system
	}
	return max(1, descriptors-max(minReservedDescriptors, descriptors/reservedDescriptorShare)), nil
}
