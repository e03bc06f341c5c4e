package assign

// SetFence sets the fencing token of later orders. The same leader continues with a higher token after it has claimed its
// lease again.
func (a *Assigner) SetFence(fence int64) { a.options.Fence = fence }
