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

  Scenario: limits hold while the store is down
    # The platform's store is out for an hour. Limits live among the daemons
    # and go on as before.
    Given an addresses deployment of 3 daemons
    When the store goes down and a caller sends 3 times its limit for 20 seconds
    Then it gets its limit and burst and no more
