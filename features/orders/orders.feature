Feature: orders to engines under a fenced lease

  Scenario: engines that check numbers end as the newest holder wants
    # Holders are frozen, restarted and cut from the store, the store is down
    # and loses answers, in any order. No engine may obey an older holder
    # after a newer one, and no caller's request may be cut by an order.
    When orders run through any faults with engines that check numbers
    Then orders kept their invariants

  Scenario: engines that ignore numbers end as the newest holder wants
    # The same with engines that obey whoever speaks last. A late order of an
    # old holder may change an empty engine; the newest holder sees it when it
    # reads the state, and corrects it.
    When orders run through any faults with engines that ignore numbers
    Then orders kept their invariants

  Scenario: a lease without a clock of its own breaks the invariants
    # The naive holder believes in its lease until the store says no. It wakes
    # from a pause and orders an engine that has long taken new work again.
    When orders of a naive lease run through any faults
    Then orders broke an invariant

  Scenario: a paused holder does not send the order that it was about to send
    # The holder has drained an engine and is suspended just before its order
    # leaves. Meanwhile the drain lapses and callers' requests run there again.
    # If the order went out on waking, it would cut them.
    Given orders to engines that ignore numbers
    When orders are due and the holder pauses just before it sends one
    Then orders cut no request
    And orders are in the end what the one holder wants

  Scenario: an order of an old holder is refused by engines that check numbers
    Given orders to engines that check numbers
    When orders of number 1 arrive after those of number 2
    Then orders of number 1 changed nothing

  Scenario: a late order at an engine that ignores numbers is corrected
    # The old holder's order was on its way when it was paused. It arrives when
    # the new holder has begun. Nobody else would put it right.
    Given orders to engines that ignore numbers
    When orders of the last holder arrive late at an engine
    Then orders are in the end what the one holder wants

  Scenario: a granted lease whose answer was lost is held
    # The store grants the lease and its answer never comes. If the daemon
    # took that for a refusal, it would wait out its own lease, and meanwhile
    # no engine would get what demand calls for.
    Given orders to engines that check numbers
    When orders' lease is granted and the answer is lost
    Then orders' lease is held by its writer within 6 seconds under number 1

  Scenario: a holder that is cut off from the store ends by its own clock
    # It can't renew and hears of no other. Whatever it still orders after its
    # term would meet the next holder's orders at the same engines.
    Given orders to engines that ignore numbers
    When orders' holder is cut off from the store
    Then orders' old holder holds its number no longer once another one begins

  Scenario: a daemon that stops gives the lease back
    Given orders to engines that check numbers
    When orders' holder is told to stop
    Then orders' lease is held by another within 8 seconds

  Scenario: only a few daemons look at the lease
    # With each daemon that looked, the store would be asked more often, and
    # its rates grow more slowly than the fleet.
    Given orders to engines that check numbers by 12 daemons
    Then orders cost the store at most 2 calls a second

  Scenario: a new holder of engines that ignore numbers waits and reads back
    Given orders to engines that ignore numbers
    When orders' holder dies while orders are due
    Then orders of the next holder come at least 30 seconds after its grant

  Scenario: placement follows demand and does not swing
    Then placement gives a model under demand an engine of one with little
    And placement leaves engines alone when demand swings about a border
    And placement changes at most a fifth of a pool at once
    And placement never takes the last engine of a model
    And placement gives more room where attainment weighs more
    And placement takes the cheap engine where cost weighs more

  Scenario: the measurement of orders runs in its smallest size
    When the orders case of the bench runs tiny
    Then orders cost the store no more with more daemons
