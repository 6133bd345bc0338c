-- Stores the sketches of one instance and returns those of some other instances.
-- KEYS: the hash of member IDs and the times of their reports in ms; the key prefix of the reports.
-- ARGV: own ID, own report, lifetime in ms, maximum number of members to return, index of the first member to return.
local time = redis.call('TIME')
local now = time[1] * 1000 + math.floor(time[2] / 1000)
local lifetime = tonumber(ARGV[3])
redis.call('SET', KEYS[2] .. ARGV[1], ARGV[2], 'PX', ARGV[3])
redis.call('HSET', KEYS[1], ARGV[1], string.format('%.0f', now))
redis.call('PEXPIRE', KEYS[1], ARGV[3])
local members, ids, report_times = redis.call('HGETALL', KEYS[1]), {}, {}
for i = 1, #members, 2 do
  local reported_at = tonumber(members[i + 1])
  -- A report from the future has no known age: the server's clock went back.
  if not reported_at or reported_at > now or now - reported_at >= lifetime then
    redis.call('HDEL', KEYS[1], members[i])
  elseif members[i] ~= ARGV[1] then
    ids[#ids + 1] = members[i]
    report_times[members[i]] = reported_at
  end
end
table.sort(ids)
local reply = {}
for i = 0, math.min(#ids, tonumber(ARGV[4])) - 1 do
  local id = ids[(tonumber(ARGV[5]) + i) % #ids + 1]
  local value = redis.call('GET', KEYS[2] .. id)
  if value then
    reply[#reply + 1] = id
    reply[#reply + 1] = string.format('%.0f', now - report_times[id])
    reply[#reply + 1] = value
  end
end
return reply
