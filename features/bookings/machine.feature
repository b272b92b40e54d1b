Feature: bookings are made at most once under faults, together and twice

  Scenario: no schedule of faults doubles a booking or makes a refusal false
    # Crews book at several daemons with the same keys. Daemons are killed,
    # frozen, stopped and cut off at every step, the store's answers and writes
    # come late or never, backend servers refuse, stall and die. Whatever the
    # order, each key's booking is made at most once, what is said of it is
    # true, and once the faults are over each key gets its final answer.
    When bookings are made under 36 schedules of up to 30 faults and calls
    Then the booking oracle finds no promise broken

  Scenario: the oracle catches bookings without records
    # Calls that fail are sent again to the next backend server. The first one
    # had made the booking and died before it answered, so that two trailers
    # stand at one bridge, or a caller is told that nothing was booked.
    When naive bookings are made under 20 schedules of up to 30 faults and calls
    Then the booking oracle finds a promise broken
