package capacity

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/jasminelock/jasminelock/store"
	"github.com/jasminelock/jasminelock/upstream"
	"github.com/jasminelock/jasminelock/wire"
)

// frameOverhead is the size of the header of a small masked WebSocket message, in
// bytes.
const frameOverhead = 8

// frameBytes returns the size of an encoded message on a link between hosts, in
// bytes.
func frameBytes(m wire.Message) int {
	raw, err := wire.Encode(m)
	if err != nil {
		panic(err) // cannot happen: all messages are built in this package
	}
	return len(raw) + frameOverhead
}

// exchangeBytes returns the size of an HTTP request and its response together, in
// bytes, as net/http writes them. TCP and TLS are not included.
func exchangeBytes(method, path string, body, answer any) (int, error) {
	var sent, received bytes.Buffer
	request, err := http.NewRequest(method, "http://10.0.0.1:8080"+path, strings.NewReader(encodeJSON(body))) //nolint:noctx // it is never sent
	if err != nil {
		return 0, err
	}
	request.Header.Set("Content-Type", "application/json")
	if err := request.Write(&sent); err != nil {
		return 0, err
	}
	text := encodeJSON(answer)
	response := &http.Response{
		StatusCode: http.StatusOK, ProtoMajor: 1, ProtoMinor: 1, ContentLength: int64(len(text)),
		Body:   io.NopCloser(strings.NewReader(text)),
		Header: http.Header{"Content-Type": {"application/json"}, "Date": {"Tue, 01 Jan 2030 00:00:00 GMT"}},
	}
	if err := response.Write(&received); err != nil {
		return 0, err
	}
	return sent.Len() + received.Len(), nil
}

// encodeJSON returns the JSON encoding of a body, or "" if body is nil.
func encodeJSON(body any) string {
	if body == nil {
		return ""
	}
	raw, err := json.Marshal(body)
	if err != nil {
		panic(err) // cannot happen: all bodies are plain structs
	}
	return string(raw)
}

func hostName(i int) string { return fmt.Sprintf("host-%03d", i) }

func zoneName(i int) string { return fmt.Sprintf("zone-%02d", i%zones) }

func listedHost(i int) store.Host {
	return store.Host{
		Name: hostName(i), Zone: zoneName(i),
		CallerURL: fmt.Sprintf("http://10.0.%d.%d:8080", i/250, i%250), PeerURL: fmt.Sprintf("http://10.0.%d.%d:8102", i/250, i%250),
	}
}

// newLoadReport returns the load report of an engine that holds the given number
// of adapters, with one running request each.
func newLoadReport(adapters int) upstream.Report {
	r := upstream.Report{Incarnation: "0123456789abcdef", Sequence: 100_000, Running: adapters, KVFree: 0.25, Role: "mixed"}
	for i := range adapters {
		r.Adapters = append(r.Adapters, upstream.AdapterState{Name: adapterName(i).String(), Running: 1})
	}
	return r
}

// measureFrames measures the sizes of single HTTP exchanges and of single
// messages between hosts.
func measureFrames(o Options) (Measurements, error) {
	var all Measurements
	for _, n := range []int{1, slotsPerReplica} {
		size, err := exchangeBytes(http.MethodGet, "/v1/load_report", nil, newLoadReport(n))
		if err != nil {
			return nil, err
		}
		all = append(all, Measurement{reportBytes, n, "adapters", float64(size), "B"})
	}
	lists, err := measureHostList(o)
	if err != nil {
		return nil, err
	}
	head, err := exchangeBytes(http.MethodGet, "/tables/config/row?key=head", nil,
		store.Row{Key: "head", Value: []byte(`{"revision":100000}`), Version: 100_000})
	if err != nil {
		return nil, err
	}
	events, err := exchangeBytes(http.MethodGet, "/v1/cache_events?after=1000000", nil, []upstream.CacheEvent{})
	if err != nil {
		return nil, err
	}
	suspicion := &wire.CrashSuspicion{Key: make([]byte, 32), Crashes: 1, Holder: hostName(0), DurationMillis: 600_000, LastCrash: "0123456789abcdef"}
	notice := frameBytes(&wire.OwnerNotice{Resource: "upstreams/zone-01/3", Fence: 1000}) +
		frameBytes(&wire.OwnerAck{Resource: "upstreams/zone-01/3", Fence: 1000})
	all = append(all, lists...)
	return append(all,
		Measurement{cacheEventsBytes, 1, "read", float64(events), "B"},
		Measurement{configHeadBytes, 1, "read", float64(head), "B"},
		Measurement{suspicionFrame, 1, "message", float64(frameBytes(suspicion)), "B"},
		Measurement{noticeBytes, 1, "host", float64(notice), "B"},
	), nil
}

// measureHostList measures the sizes of the host list and of the limiter's view,
// which both name every host, and of one host's announcement.
func measureHostList(o Options) (Measurements, error) {
	var all Measurements
	for _, n := range sizesUpTo([]int{7, 30, 100, hosts}, o.MaxHosts) {
		var list []store.Host
		view := &wire.LimitView{Epoch: 1000}
		for i := range n {
			list = append(list, listedHost(i))
			view.Members = append(view.Members, wire.LimitMember{Host: hostName(i), Incarnation: 1 << 40})
		}
		view.Previous = view.Members
		size, err := exchangeBytes(http.MethodGet, "/hosts", nil, list)
		if err != nil {
			return nil, err
		}
		all = append(all,
			Measurement{hostListBytes, n, "hosts", float64(size), "B"},
			Measurement{limitView, n, "hosts", float64(frameBytes(view)), "B"})
	}
	size, err := exchangeBytes(http.MethodPut, "/hosts/"+hostName(0)+"?ttl=10s", listedHost(0), nil)
	if err != nil {
		return nil, err
	}
	return append(all, Measurement{announceBytes, 1, "host", float64(size), "B"}), nil
}
