package group

// ReplicaStatus is what a replica last reported of its log.
type ReplicaStatus struct {
	Name      string
	Term      uint64
	Position  uint64
	Following bool
}

// CopyCount returns how many instances hold the entry at a position that the primary of a term
// wrote, itself included. A replica counts only while it follows that very term: the tail of
// one that does not yet may be as long and yet hold other writes.
func CopyCount(primary string, term, position uint64, replicas []ReplicaStatus) int {
	n := 1
	for _, r := range replicas {
		if r.Name != primary && r.Following && r.Term == term && r.Position >= position {
			n++
		}
	}
	return n
}
