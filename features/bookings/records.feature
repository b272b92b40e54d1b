Feature: a booking's record decides who makes the call

  Scenario: a booking that is asked for again is answered from its record
    When a trailer is booked with one key at every daemon in turn
    Then each booking answer names the same receipt
    And the booking was made 1 time
    And the store counted 3 writes for the first booking

  Scenario: a key that stands for another booking is refused
    # A client reuses the key of the first trailer for the second. Answering
    # with the first booking's receipt would send no second trailer.
    When two trailers are booked with one key
    Then the second booking is refused as key_reused and not_run

  Scenario: two daemons at once make one booking
    When a trailer is booked with one key at two daemons at once
    Then the booking was made 1 time
    And nobody was told of the booking that it was not_run

  Scenario: an owner that is frozen before its mark loses the booking to another
    # The owner creates the record and is paused. The crew's client turns to
    # another daemon, which claims the record and books. The owner wakes and
    # still believes that the call is its own to make.
    Given a booking's owner is to be "freeze" at "after_open" for 1200 ms
    When a trailer is booked at "entry-1" and then at "entry-2" with one key
    Then the booking was made 1 time
    And the booking answer at "entry-2" names a receipt

  Scenario: an owner that is frozen after its mark stays the only one to book
    # The owner marks the record, is paused, and sends the call as soon as it
    # wakes. Had the second daemon taken the booking over, there were two.
    Given a booking's owner is to be "freeze" at "after_dispatching" for 1200 ms
    When a trailer is booked at "entry-1" and then at "entry-2" with one key
    Then the booking was made 1 time
    And nobody was told of the booking that it was not_run

  Scenario: an owner killed before its mark does not block the key
    Given a booking's owner is to be "kill" at "after_open" for 60000 ms
    When a trailer is booked at "entry-1" and then at "entry-2" with one key
    Then the booking was made 1 time
    And the booking answer at "entry-2" names a receipt

  Scenario: a create whose answer is lost is read back
    # The store's answer to the create is lost. Taken for a failure, the key is
    # blocked by a record that nobody stands behind.
    Given a booking's owner is to be "lose" at "after_open" for 0 ms
    When a trailer is booked at "entry-1" and then at "entry-2" with one key
    Then the booking was made 1 time
    And each booking answer names the same receipt

  Scenario: a create that lands after it was given up blocks nobody
    # The create takes so long that the daemon gives up and says not_run. Then
    # it lands. The next call with the key must find a record free to claim.
    Given a booking's owner is to be "late" at "before_open" for 9000 ms
    And the store is cut off from "entry-1" for 8000 ms
    When a trailer is booked at "entry-1" and after 20000 ms at "entry-2"
    Then the booking answer at "entry-1" was not_run
    And the booking answer at "entry-2" names a receipt
    And the booking was made 1 time

  Scenario: a mark that lands after it was given up blocks nobody
    # The mark's answer is lost and the store can't be read. The call isn't
    # made, but the mark lands: a record that says dispatching, with nobody
    # behind it, would tell every later caller that the outcome is unknown.
    Given a booking's owner is to be "one_way" at "before_dispatching" for 8000 ms
    When a trailer is booked at "entry-1" and after 20000 ms at "entry-2"
    Then the booking answer at "entry-1" was unknown
    And the booking answer at "entry-2" names a receipt
    And the booking was made 1 time

  Scenario: with the store down a booking is refused at once
    Given the store is down
    When a trailer is booked at "entry-1"
    Then the booking answer at "entry-1" was not_run
    And the booking answer came within 100 ms of virtual time
    And the booking was made 0 times

  Scenario: an answer that can't be stored is given at once
    # The store goes down while the backend server works. The crew gets its
    # receipt at once; the record is completed when the store is back.
    Given a booking's owner is to be "store_down" at "in_flight" for 6000 ms
    When a trailer is booked at "entry-1" and after 20000 ms at "entry-2"
    Then the booking answer at "entry-1" came within 100 ms of virtual time
    And each booking answer names the same receipt
    And the booking was made 1 time

  Scenario: a booking that no backend server took can be made with the same key
    Given the backend servers refuse the next 2 calls
    When a trailer is booked at "entry-1" and then at "entry-2" with one key
    Then the booking answer at "entry-1" was not_run
    And the booking answer at "entry-2" names a receipt
    And the booking was made 1 time

  Scenario: an owner lost in mid-call leaves the outcome unknown
    Given a booking's owner is to be "kill" at "in_flight" for 60000 ms
    When a trailer is booked at "entry-1" and after 80000 ms at "entry-2"
    Then the booking answer at "entry-2" was unknown
    And the booking was made 1 time

  Scenario: an owner lost in mid-call is made up for by asking the service
    # The same, but the service knows its bookings by key. The crew's second
    # call, at another daemon, gets the receipt that the first one lost.
    Given a plain service that can be asked by key
    And a booking's owner is to be "kill" at "in_flight" for 60000 ms
    When a trailer is booked at "entry-1" and after 2000 ms at "entry-2"
    Then the booking answer at "entry-2" names a receipt
    And the booking was made 1 time

  Scenario: a lost answer of the service is asked for by key
    Given a plain service that can be asked by key
    And the backend servers lose their next answer
    When a trailer is booked at "entry-1" and after 20000 ms at "entry-2"
    Then the booking answer at "entry-1" was unknown
    And the booking answer at "entry-2" names a receipt
    And the booking was made 1 time

  Scenario: an answer too large for a record is told as such
    Given the backend servers answer with 1200000 bytes
    When a trailer is booked at "entry-1" and then at "entry-2" with one key
    Then the booking answer at "entry-1" names a receipt
    And the booking answer at "entry-2" was ran
    And the booking was made 1 time

  Scenario: a planned stop waits until answers are stored
    # The store is down while a booking's answer should be stored, and the
    # daemon is told to stop. Stopped at once, it takes the answer with it.
    Given a booking's owner is to be "store_down" at "in_flight" for 6000 ms
    When a trailer is booked at "entry-1", which is then told to stop
    Then the booking answer at "entry-2" names a receipt
    And the booking was made 1 time

  Scenario: old records are deleted by one daemon, at a bounded rate
    When 60 records are past their retention and 5 are not
    Then 5 records are left
    And no second saw more than 20 deletes
