-- One call of allowance.Counter on a Redis server (internal/quotalease has the same in Go, and says
-- why). All state is under the server's run id: another process, or a replica that was promoted, has
-- lent nothing under its own.
-- KEYS[1]: what the names of all keys begin with, with a hash tag.
-- ARGV: from counter echo pledge seen term pledge_lasts
--       wants {key rate burst units need}* gives {key token units}*    (times in us)
local clock = redis.call('TIME')
local now = tonumber(clock[1]) * 1000000 + tonumber(clock[2])
local id = string.match(redis.call('INFO', 'server'), 'run_id:(%w+)')
local base = KEYS[1] .. ':' .. id
local meta, pledges = base .. ':m', base .. ':p'
local hour = 3600000

local from, counter = ARGV[1], ARGV[2]
local echo, part, seen = tonumber(ARGV[3]), tonumber(ARGV[4]), tonumber(ARGV[5])
local term, lasts = tonumber(ARGV[6]), tonumber(ARGV[7])

local m = redis.call('HMGET', meta, 'last', 'token', 'epoch', 'shares')
local last, token, epoch = tonumber(m[1] or '0'), tonumber(m[2] or '0'), tonumber(m[3] or '0')
local shares = {}
for since, p in string.gmatch(m[4] or '', '([%-%d%.e+]+)=([%d%.e%-]+);') do
  shares[#shares + 1] = {tonumber(since), tonumber(p)}
end

local function forget()
  redis.call('DEL', pledges)
  epoch, shares = epoch + 1, {}
end

local function keep()
  local s = {}
  for _, h in ipairs(shares) do s[#s + 1] = string.format('%.0f=%.17g;', h[1], h[2]) end
  redis.call('HSET', meta, 'last', string.format('%.0f', now), 'token', string.format('%.0f', token),
    'epoch', string.format('%.0f', epoch), 'shares', table.concat(s))
  redis.call('PEXPIRE', meta, hour)
end

local out = {id, string.format('%.0f', now), '0'}
if now < last then forget() end
if counter ~= id then
  keep()
  return out
end
if seen > token then
  forget()
  token = seen
end

local function pledged()
  local total, all = 0, redis.call('HGETALL', pledges)
  for i = 1, #all, 2 do
    local ends, p = string.match(all[i + 1], '(%S+) (%S+)')
    if tonumber(ends) <= now then
      redis.call('HDEL', pledges, all[i])
    else
      total = total + tonumber(p)
    end
  end
  return math.min(1, math.floor(total * 100000 + 0.5) / 100000)
end

local function note(p)
  local since = now
  while #shares > 0 and shares[#shares][2] >= p do
    since = shares[#shares][1]
    shares[#shares] = nil
  end
  if #shares == 0 and since == now and p > 0 then shares[1] = {-1e18, 0} end
  shares[#shares + 1] = {since, p}
end

note(pledged())
if part > 0 and echo <= now then
  local ends, old = echo + lasts, redis.call('HGET', pledges, from)
  local before = old and tonumber(string.match(old, '(%S+)')) or 0
  if ends > now and ends >= before then
    redis.call('HSET', pledges, from, string.format('%.0f %.17g', ends, part))
    redis.call('PEXPIRE', pledges, hour)
  end
end
note(pledged())

local function least(since)
  local p = shares[1][2]
  for _, h in ipairs(shares) do
    if h[1] <= since then p = h[2] end
  end
  return p
end

local function store(key) return base .. ':s:' .. string.format('%.0f', epoch) .. ':' .. key end

local function level(key, rate, burst)
  local v = redis.call('GET', store(key))
  if not v then
    local most = 0
    for _, h in ipairs(shares) do
      if h[2] > 0 then most = math.max(most, math.min(burst, (now - h[1]) / 1000000 * rate) * h[2]) end
    end
    return most
  end
  local was, at = string.match(v, '(%S+) (%S+)')
  was, at = tonumber(was), tonumber(at)
  local p = least(at)
  return math.min(math.min(p * burst, was) + math.max(0, now - at) / 1000000 * p * rate, p * burst)
end

local function put(key, units, at, ttl)
  redis.call('SET', store(key), string.format('%.17g %.0f', units, at), 'PX', string.format('%.0f', ttl))
end

local wants = tonumber(ARGV[8])
local gives = 9 + 5 * wants
for i = gives + 1, gives + 3 * tonumber(ARGV[gives]), 3 do
  local key, units = ARGV[i], tonumber(ARGV[i + 2])
  local name = base .. ':l:' .. string.format('%.0f', epoch) .. ':' .. ARGV[i + 1]
  local loan = redis.call('HMGET', name, 'from', 'key', 'units', 'ends', 'ttl')
  if loan[1] == from and loan[2] == key and tonumber(loan[4]) > now and units > 0 then
    redis.call('DEL', name)
    local v = redis.call('GET', store(key))
    if v then
      local was, at = string.match(v, '(%S+) (%S+)')
      put(key, tonumber(was) + math.min(units, tonumber(loan[3])), tonumber(at), tonumber(loan[5]))
    end
  end
end

if shares[#shares][2] > 0 then
  out[3] = '1'
  for i = 9, 8 + 5 * wants, 5 do
    local key, rate, burst = ARGV[i], tonumber(ARGV[i + 1]), tonumber(ARGV[i + 2])
    local units, need = tonumber(ARGV[i + 3]), tonumber(ARGV[i + 4])
    local have = level(key, rate, burst)
    local ttl = hour + burst / rate * 1000
    units = math.min(units, have)
    if units > 0 and units >= need then
      have, token = have - units, token + 1
      local name = base .. ':l:' .. string.format('%.0f', epoch) .. ':' .. string.format('%.0f', token)
      redis.call('HSET', name, 'from', from, 'key', key, 'units', string.format('%.17g', units),
        'ends', string.format('%.0f', now + term), 'ttl', string.format('%.0f', ttl))
      redis.call('PEXPIRE', name, string.format('%.0f', term / 1000))
      out[#out + 1] = key
      out[#out + 1] = string.format('%.0f', token)
      out[#out + 1] = string.format('%.17g', units)
    end
    put(key, have, now, ttl)
  end
end
keep()
return out
