package tarragonwell

import "time"

// PlatformPosition is how far an instance has read what the platform publishes.
type PlatformPosition struct {
	Rules uint64
	List  uint64
}

// PlatformUpdate is what one reading of the platform brought.
type PlatformUpdate struct {
	// Rules is nil where they have not changed.
	Rules *PublishedRules
	// List is nil where it has not changed.
	List *ListChange
	// Unreadable are the entries that were left out.
	Unreadable []UnreadableEntry
}

// UnreadableEntry is an entry of the list that names no target to use.
type UnreadableEntry struct {
	ID       string
	Revision uint64
	// Err tells what is wrong with it.
	Err error
}

// PublishedRules is one reading of the rules.
type PublishedRules struct {
	Revision uint64
	Content  []byte
}

// ListChange is what has changed on the platform's list of targets and
// instances.
type ListChange struct {
	// Since is the revision that the change builds on; with 0 it is the whole
	// list.
	Since uint64
	// Revision is that of the list with the change.
	Revision uint64
	// Targets are new or changed.
	Targets []ListedTarget
	// Removed lists targets whose entries are gone.
	Removed []RemovedTarget
	// Instances replaces the list of instances where the change is whole.
	Instances []ListedInstance
}

// ListedTarget is one entry of the platform's lagging list.
type ListedTarget struct {
	// ID is unique among the targets of all times; it is the address where the
	// platform names none.
	ID         string
	Service    string
	Address    string
	DataCenter string
	Leaving    bool
	// Slots is 0 where the list does not tell.
	Slots int
	// Born tells the lives of one ID apart; 0 where the list does not tell.
	Born uint64
	// WarmUpRemaining is how much longer the target is slow after its start.
	WarmUpRemaining time.Duration
	// Revision is that of the entry's latest change; 0 where the list does not
	// tell.
	Revision uint64
	// Expired says that the entry is gone, though not for long enough to be
	// certain that the target is.
	Expired bool
}

// Identity returns what names the target: its ID, or its address where the
// platform names none.
func (l ListedTarget) Identity() string {
	if l.ID == "" {
		return l.Address
	}
	return l.ID
}

// RemovedTarget says that a target's entry is gone.
type RemovedTarget struct {
	ID       string
	Revision uint64
}

// ListedInstance is an instance of tarragonwell on the platform's list.
type ListedInstance struct {
	// Address is for callers.
	Address string
	// PeerAddress is for other instances.
	PeerAddress string
	DataCenter  string
	Leaving     bool
}
