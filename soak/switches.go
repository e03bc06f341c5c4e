package soak

import "time"

// platformFaults is what the platform stand-in is asked to do, as its switch
// takes it.
type platformFaults struct {
	Down bool `json:"down"`
	// Delay is added before every call.
	Delay time.Duration `json:"delay"`
	// LoseAnswers is how many writes take effect without an answer.
	LoseAnswers int `json:"lose_answers"`
}

// engineFaults is what an engine stand-in is asked to do.
type engineFaults struct {
	// FailLoads is how many loads fail.
	FailLoads int `json:"fail_loads"`
	// Poison is the text that makes a request crash the engine.
	Poison string `json:"poison"`
}

// engineCounts is what an engine stand-in counts.
type engineCounts struct {
	// ServingUnloads counts orders to unload an adapter that was serving.
	ServingUnloads int `json:"serving_unloads"`
	// Crashed says that the engine answers nothing until it is restarted.
	Crashed bool `json:"crashed"`
}
