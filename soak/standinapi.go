package soak

import "time"

// platformFaults is the body of PUT /faults of the platform stand-in.
type platformFaults struct {
	Down bool `json:"down"`
	// Delay is the time that the stand-in waits before it handles a call.
	Delay time.Duration `json:"delay"`
	// LoseAnswers is the number of writes that take effect but get no answer.
	LoseAnswers int `json:"lose_answers"`
}

// engineFaults is the body of PUT /faults of an engine stand-in.
type engineFaults struct {
	// FailLoads is the number of adapter loads that fail.
	FailLoads int `json:"fail_loads"`
	// Poison is the text that makes a request crash the engine.
	Poison string `json:"poison"`
}

// engineCounts is the answer to GET /counts of an engine stand-in.
type engineCounts struct {
	// ServingUnloads counts orders to unload an adapter that was serving.
	ServingUnloads int `json:"serving_unloads"`
	// Crashed is true if the engine has crashed and answers no requests until it is restarted.
	Crashed bool `json:"crashed"`
}
