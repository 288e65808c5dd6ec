"""The leader's decisions beyond the stored records: their log, and followers' copies of it."""
