package settings

import "github.com/jasminelock/jasminelock/intake"

// Callers holds the shares of the process's memory and descriptors that callers may take. Each is above 0 and at most 1.
type Callers struct {
	// MemoryShare is the share of the memory. Half of it is for connections. Default 0.25.
	MemoryShare float64 `json:"memory_share,omitzero"`
	// ConnectionShare and KeyShare are the shares of the other half that one connection and all requests with one key may
	// hold. Defaults 0.5 and 0.75.
	ConnectionShare float64 `json:"connection_share,omitzero"`
	KeyShare        float64 `json:"key_share,omitzero"`
	// DescriptorShare is the share of the descriptors, less 200, for callers' connections. Default 0.4.
	DescriptorShare float64 `json:"descriptor_share,omitzero"`
}

func (c *Callers) setDefaults() {
	d := intake.DefaultShares()
	setDefault(&c.MemoryShare, d.Memory)
	setDefault(&c.ConnectionShare, d.Connection)
	setDefault(&c.KeyShare, d.Key)
	setDefault(&c.DescriptorShare, d.Descriptors)
}

// Shares returns the shares as package intake takes them, with the defaults for those that are not set.
func (c Callers) Shares() intake.Shares {
	c.setDefaults()
	return intake.Shares{Memory: c.MemoryShare, Connection: c.ConnectionShare, Key: c.KeyShare, Descriptors: c.DescriptorShare}
}

// checkCallers checks the limits of callers. Descriptors may be 0, for the limit of the process.
func (v *validator) checkCallers(c *Callers, descriptors int) {
	for _, share := range []struct {
		field string
		value float64
	}{
		{"callers.memory_share", c.MemoryShare}, {"callers.connection_share", c.ConnectionShare},
		{"callers.key_share", c.KeyShare}, {"callers.descriptor_share", c.DescriptorShare},
	} {
		v.check(share.value > 0 && share.value <= 1, share.field, "want a share above 0 and at most 1")
	}
	v.check(descriptors >= 0, "descriptors", "want a number of descriptors, or 0 for the limit of the process")
}
