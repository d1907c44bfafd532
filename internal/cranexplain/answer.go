package cranexplain

// Answer says where a job would go if it were submitted at an entry instance now. An empty field isn't known or
// doesn't apply.
type Answer struct {
	// Refused is the reason for which the question has no answer.
	Refused string `json:"refused,omitempty"`
	Queue   string `json:"queue,omitempty"`
	Pool    string `json:"pool,omitempty"`
	Tenant  string `json:"tenant,omitempty"`
	// RequiresKey is set if requests to the queue need a key.
	RequiresKey bool `json:"requiresKey"`
	// Job is the id of the job. It is assumed if the path contains none.
	Job        string `json:"job,omitempty"`
	JobAssumed bool   `json:"jobAssumed,omitempty"`
	// State is that of the job if it is known already. Submitting it again would change nothing.
	State string `json:"state,omitempty"`
	// ReadAgeMs is the age of what the entry instance has read from the store, in milliseconds; -1 if it has read nothing.
	ReadAgeMs int64      `json:"readAgeMs"`
	Admission *Admission `json:"admission,omitempty"`
	Shard     *Shard     `json:"shard,omitempty"`
	// Placement is that by the owner of the shard. Only the owner knows it; AskAt is the entry instance to ask instead.
	Placement *Placement `json:"placement,omitempty"`
	AskAt     string     `json:"askAt,omitempty"`
	// Loading is set if the queried instance owns the shard and has not loaded it yet.
	Loading bool `json:"loading,omitempty"`
	// WouldChange holds a sentence for each reason that keeps the job from starting now.
	WouldChange []string `json:"wouldChange,omitempty"`
}

// Admission says whether the entry instance would accept the job.
type Admission struct {
	Admitted bool `json:"admitted"`
	// Status is that of the response, Kind the kind of the refusal, and RetryAfter the response's Retry-After in seconds.
	Status     int    `json:"status"`
	Kind       string `json:"kind,omitempty"`
	Reason     string `json:"reason,omitempty"`
	RetryAfter int    `json:"retryAfterSeconds,omitempty"`
	// HasFigures is set if the decision is based on published figures, which are so old. Without any, jobs are admitted.
	HasFigures   bool  `json:"hasFigures"`
	FiguresAgeMs int64 `json:"figuresAgeMs,omitempty"`
}

// Shard is the shard of the job.
type Shard struct {
	Number int `json:"number"`
	// Owner is the entry instance that owns the shard; empty if none does. ClaimAgeMs is how long ago its claim or a
	// renewal of it was last read, in milliseconds; -1 if that isn't known.
	Owner      string `json:"owner,omitempty"`
	ClaimAgeMs int64  `json:"claimAgeMs"`
}

// Placement is the placement of the job by the owner of its shard.
type Placement struct {
	// Beyond is set if the job would be beyond the entitlement of its tenant.
	Beyond bool `json:"beyondEntitlement"`
	// CapRoom is what is left of the tenant's cap on the shard; nil if the tenant has none.
	CapRoom *CapRoom `json:"capRoom,omitempty"`
	// StagesAhead is the number of waiting stages of the pool that would be placed before the job.
	StagesAhead int `json:"stagesAhead"`
	// GivenUp is set if the job would get room only after those that can be served in time, since the pool is too small
	// for all.
	GivenUp bool   `json:"givenUp"`
	Steps   []Step `json:"steps"`
	Pool    Pool   `json:"pool"`
}

// CapRoom is the room under the cap of a tenant on a shard. Quantities without a cap are nil. CPU is in thousandths of
// a core, memory in MB.
type CapRoom struct {
	CPU          *int `json:"cpu,omitempty"`
	MemoryMB     *int `json:"memoryMb,omitempty"`
	Accelerators *int `json:"accelerators,omitempty"`
}

// Step is what would happen to a step of the job.
type Step struct {
	Step int `json:"step"`
	// Ready is set if the step waits for nothing but a target. The fields up to Excluded apply only then.
	Ready bool `json:"ready"`
	// Target is the one to which the first task would go now; empty if there is none. The lowest score is best.
	Target string  `json:"target,omitempty"`
	Score  float64 `json:"score,omitempty"`
	// Excluded holds the number of the pool's targets that are excluded for each reason, if there is no target.
	Excluded map[Reason]int `json:"excluded,omitempty"`
	// MedianMs and P90Ms are the expected run time of a task at the median and at the 90th percentile; 0 if it isn't
	// predicted.
	MedianMs float64 `json:"medianMs,omitempty"`
	P90Ms    float64 `json:"p90Ms,omitempty"`
}

// Reason is why a target is excluded.
type Reason string

// Reasons, in the order in which they are checked.
const (
	// Leaving is the reason for targets that drain, or that are cordoned or kept free for something else.
	Leaving Reason = "leaving"
	// NotSchedulable is the reason for targets that don't respond, have failed often, or have just restarted.
	NotSchedulable Reason = "notSchedulable"
	// NoLabel is the reason for targets without the label that the step requires.
	NoLabel Reason = "noLabel"
	// Limit is the reason for targets with as many tasks of the step as the spread or the limit per target allows.
	Limit Reason = "limit"
	// NoRoom is the reason for targets without enough free resources once the stages ahead are placed.
	NoRoom Reason = "noRoom"
	// NoTicket is the reason for targets for which the advice service hasn't granted a ticket.
	NoTicket Reason = "noTicket"
	// Other is the reason for targets that would take the task, if something other than the target didn't prevent it.
	Other Reason = "other"
)

// Reasons returns all reasons in the order in which they are checked.
func Reasons() []Reason {
	return []Reason{Leaving, NotSchedulable, NoLabel, Limit, NoRoom, NoTicket, Other}
}

// Pool is the state of a pool in the shard, as of the last plan of the pool sizes. Needed is how many instances all its
// work needs.
type Pool struct {
	Instances int `json:"instances"`
	Idle      int `json:"idle"`
	Arriving  int `json:"arriving"`
	Needed    int `json:"needed"`
}
