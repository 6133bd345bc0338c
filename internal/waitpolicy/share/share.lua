-- Writes what one instance tells, and gives what some of the others told.
-- KEYS: the hash of members and when they told; the prefix of what they told.
-- ARGV: own name, what it tells, life in ms, most members to give, a number that says where to begin.
local t = redis.call('TIME')
local now = t[1] * 1000 + math.floor(t[2] / 1000)
local life = tonumber(ARGV[3])
redis.call('SET', KEYS[2] .. ARGV[1], ARGV[2], 'PX', ARGV[3])
redis.call('HSET', KEYS[1], ARGV[1], string.format('%.0f', now))
redis.call('PEXPIRE', KEYS[1], ARGV[3])
local all, ids, at = redis.call('HGETALL', KEYS[1]), {}, {}
for i = 1, #all, 2 do
  local told = tonumber(all[i + 1])
  -- Where the server's clock went back, what was told is as old as can't be known.
  if not told or told > now or now - told >= life then
    redis.call('HDEL', KEYS[1], all[i])
  elseif all[i] ~= ARGV[1] then
    ids[#ids + 1] = all[i]
    at[all[i]] = told
  end
end
table.sort(ids)
local out = {}
for i = 0, math.min(#ids, tonumber(ARGV[4])) - 1 do
  local id = ids[(tonumber(ARGV[5]) + i) % #ids + 1]
  local value = redis.call('GET', KEYS[2] .. id)
  if value then
    out[#out + 1] = id
    out[#out + 1] = string.format('%.0f', now - at[id])
    out[#out + 1] = value
  end
end
return out
