package policy

// Host is the process that the balancer runs in. Its methods take effect in the order of the calls.
type Host interface {
	Now() Time
	Push(op, cache uint32, until Time)
	Cancel(op uint32, push int)
	Nack(op uint32, retryAfter Time) // retryAfter: advised delay of the client's retry
	DeadLetter(op uint32)            // ends an op that is not safe to retry
	Timer(token uint64, after Time)
	Probe(cache uint32)
	SendToPeers(message []byte) // to every other proxy, 256 bytes at most
	Watch(on bool)              // starts or stops watching the cache list
	CloseIdle(cache uint32)     // closes the idle connections to a cache
	Log(text string)
}
