// Package admission decides which waiting request an owned target serves next,
// and which requests are refused. Each target has its own Queue.
//
// Kinds of work share the slots by start-time fair queuing: P. Goyal, H. Vin,
// H. Cheng, "Start-time fair queuing: a scheduling algorithm for integrated
// services packet switching networks", SIGCOMM 1996. The server has several
// slots, as in SFQ(D): W. Jin, J. Chase, J. Kaur, "Interposed proportional
// sharing for a storage service utility", SIGMETRICS 2004. The cost of an item
// is the expected service time of its kind. Among equal start tags the more
// urgent kind goes first.
//
// Within a kind, callers are hashed into 64 buckets that are served round robin
// (P. McKenney, "Stochastic fairness queueing", INFOCOM 1990). Buckets that
// become non-empty go first, once in a round (M. MacGregor, W. Shi, "Deficits for
// bursty latency-critical flows: DRR++", ICON 2000; RFC 8290, section 4.2). Each
// caller has two buckets and an item joins the shorter one (M. Mitzenmacher, "The
// power of two choices in randomized load balancing", IEEE TPDS 12(10), 2001), so
// that a flooding caller delays only those that share both of its buckets.
//
// Fair queuing alone cannot bound the wait of other kinds during a flood, since a
// slot with a long item is not preempted. Kinds that offer more than their share
// are therefore served after the others, and their slots are limited while other
// kinds have recent demand; see classify.
//
// A kind that regularly uses more than its configured share, since others use
// less, keeps that use when another kind floods: its effective share follows a
// slow moving average of its use. During lasting contention the effective shares
// return to the configured ones; see setEffectiveShares and baseline.
//
// Times are durations since the start of the VM. A Queue is not safe for
// concurrent use. Offer, Next and Finish do not allocate once the queue has been
// in use for a while. The package reports outcomes as values and returns no errors.
package admission
