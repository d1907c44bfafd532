// Package cranquota divides the caps of the tenants among the owners of shards.
//
// A [Ledger] holds the share that one shard has of each tenant's cap, in millionths, and says whether
// a task or a gang still fits. Owners give each other shares through a [Record] in the digest. The
// totals of what a shard has given only rise, the giver deducts before the record is stored, and the
// receiver counts a gift once it has read it, so the shares never sum to more than the whole.
//
// The package is pure: time is passed in, and its caller stores and reads the records.
package cranquota
