package cranpredict

import (
	"crypto/sha256"
	"encoding/binary"
	"math"
)

// Features describe a step of a job.
type Features struct {
	Queue, Tenant, Image string
	// Step is the position of the step in its job.
	Step int
	// CPU, Memory and Accelerators are the demand of one task.
	CPU, Memory, Accelerators int
	// EstimateMs is the caller's estimate; 0 if there is none.
	EstimateMs int64
}

// Durations and estimates outside these bounds count as the bound. An extreme estimate would determine the
// slope of its line alone.
const (
	minMs = 1
	maxMs = 7 * 24 * 3600 * 1000
)

// Class names the groups of a step, from wide to narrow. It is computed once for each step.
type Class struct {
	queue string
	// x is the logarithm of the estimate in seconds; 0 if there is none.
	x         float64
	estimated bool
	keys      [maxLevels]uint64
	levels    int
}

// maxLevels is the number of groups of a step: the queue; image, step and demand; and the tenant.
const maxLevels = 3

// Keys of the groups of a whole queue. Steps with and without an estimate have different lines.
const (
	keyEstimated uint64 = iota
	keyUnestimated
)

// Classify returns the class of a step.
func Classify(f Features) Class {
	c := Class{queue: f.Queue, estimated: f.EstimateMs > 0, levels: 2}
	c.keys[0] = keyUnestimated
	if c.estimated {
		c.keys[0] = keyEstimated
		c.x = logSeconds(float64(f.EstimateMs))
	}
	var buffer [192]byte
	text := binary.AppendUvarint(buffer[:0], c.keys[0])
	for _, n := range []int{f.Step, f.CPU, f.Memory, f.Accelerators} {
		text = binary.AppendVarint(text, int64(n))
	}
	text = append(binary.AppendUvarint(text, uint64(len(f.Image))), f.Image...)
	c.keys[1] = groupKey(text)
	if f.Tenant != "" {
		c.keys[2] = groupKey(append(text, f.Tenant...))
		c.levels = 3
	}
	return c
}

// groupKey returns the key of a group. The hash is cryptographic, since callers choose images: nobody can
// choose one that falls into a group of another tenant.
func groupKey(text []byte) uint64 {
	sum := sha256.Sum256(text)
	return binary.BigEndian.Uint64(sum[:])
}

func logSeconds(ms float64) float64 {
	return math.Log(min(max(ms, minMs), maxMs) / 1000)
}
