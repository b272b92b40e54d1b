Feature: callers are told which daemons serve their customer

  Scenario: a caller at the wrong daemon is served and told the right ones
    # A caller has kept an address from yesterday. The fleet has grown since
    # and its customer is served elsewhere. Its request is answered all the
    # same, and the answer names the daemons to use from now on.
    Given an addresses deployment of 12 daemons
    When a caller holds only the address of a daemon outside its list
    Then its request is answered
    And from then on it calls only daemons of its list

  Scenario: a caller that holds the right list is told nothing
    Given an addresses deployment of 12 daemons
    When a caller that has asked for addresses sends 5 requests
    Then no answer names addresses again

  Scenario: the list grows with demand and callers follow
    # A customer opens for the season and sends ten times as much. The same
    # six daemons would carry it all; its callers learn of more.
    Given an addresses deployment of 12 daemons
    When a caller sends 15 requests a second for 15 seconds
    Then its requests reach more than 6 daemons
    And none of its requests failed

  Scenario: a list shrinks only after a calm minute
    # Demand that swings up and down within a minute must not send callers to
    # and fro, since each change costs warm prefixes.
    Given an addresses account of a customer with 100 requests a second
    When its demand is 30 a second, and then 2 for 59 seconds
    Then its list is as large as before
    And after 2 more seconds it is the smallest

  Scenario: the subsets bench runs in its tiny size
    When the addresses bench compares the ways to place customers
    Then loans refuse fewer below the limit than equal shares do
    And the bench says messages, warm prefixes and load for each way

  Scenario Outline: every list survives the loss of a place
    # Ten data centres in three regions, or in one. Whichever goes, each of
    # 210 customers must have daemons of its list left.
    Given an addresses fleet of 350 daemons, 10 data centres, <regions> regions
    When the lists of 210 customers are computed
    Then no data centre holds more than 2 and no region more than <in_region> of a list
    And a larger list begins with the smaller one
    And without a daemon only the lists that held it change, by one address

    Examples:
      | regions | in_region |
      | 3       | 2         |
      | 1       | 6         |

  Scenario: the owner dies among whole daemons
    # As with the limits fleet, but with the real membership: whoever it still
    # lists, callers below their limit must not be locked out.
    Given an addresses deployment of 6 daemons
    When its limit's owner dies while callers send half of their limit
    Then at most 10 percent were refused, and never for longer than 2000 ms

  Scenario: limits hold while the store is down
    # The platform's store is out for an hour. Limits live among the daemons
    # and go on as before.
    Given an addresses deployment of 3 daemons
    When the store goes down and a caller sends 3 times its limit for 20 seconds
    Then it gets its limit and burst and no more
