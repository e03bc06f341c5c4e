package replica

import (
	"encoding/json"
	"net/http"
	"slices"
	"time"
)

type orderBody struct {
	Operation string `json:"operation"`
	Adapter   string `json:"adapter"`
	Version   int64  `json:"version"`
	Expect    int64  `json:"expect"`
	Holder    string `json:"holder"`
	Fence     int64  `json:"fencing_token"`
}

// Order is an order as it was received.
type Order struct {
	ReceivedAt time.Time
	Holder     string
	Fence      int64
	// Fenced means that the replica rejected the order, since it had seen a higher fencing
	// token.
	Fenced bool
}

func (r *Replica) order(w http.ResponseWriter, req *http.Request) {
	var o orderBody
	if err := json.NewDecoder(req.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	status := r.applyOrder(o)
	if r.consume(&r.faults.LoseOrders) {
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(status)
}

func (r *Replica) applyOrder(o orderBody) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, held := r.adapters[o.Adapter]
	fenced := o.Fence < r.highestFence
	r.highestFence = max(r.highestFence, o.Fence)
	r.orders = append(r.orders, Order{ReceivedAt: time.Now(), Holder: o.Holder, Fence: o.Fence, Fenced: fenced})
	switch {
	case fenced:
		return http.StatusPreconditionFailed
	case o.Expect != r.sequence:
		return http.StatusConflict
	case o.Operation == "load" && held:
		return http.StatusOK
	case o.Operation == "load":
		r.adapters[o.Adapter] = max(o.Version, 1)
		r.sequence++
		return http.StatusAccepted
	}
	delete(r.adapters, o.Adapter)
	r.sequence++
	return http.StatusOK
}

// Orders returns the orders that were received.
func (r *Replica) Orders() []Order {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.orders)
}
