Feature: decisions are tried out in virtual time on the product's own code

  Scenario: the fault that all daemons lose power shows what each mechanism buys
    # Nine hosts lose power and come back. Every daemon decided for itself, the
    # makers' memory was full of what dead daemons had ordered, and callers that
    # returned went before those that could be on time.
    Given the scenario of a loss of power, with ten seconds of requests
    When it is played as it is and without what was built against the fault
    Then daemons disagree for less than a quarter as long
    And more is earned

  Scenario: no policy passes the bound
    # A bound that a play passes is none, and would hide how far there is to go.
    Given the scenario of a loss of power, with ten seconds of requests
    When it is played as it is and first come, first served
    Then each play is below its bound, and first come, first served below ours

  Scenario: the same seed plays the same
    Given a small scenario of one stage and engines
    When it is played twice with one seed and once with another
    Then the first two are the same and the third is not
    And its requests are answered on time

  Scenario: an emulated maker keeps the platform's rules
    # What the emulator forgives is never found out. A maker takes no piece
    # without room, late, or whose inputs are gone, and tells whole megabytes of
    # 200 ms ago.
    Given an emulated maker with room for two results
    When three pieces are sent, one freed, and one more whose input is gone
    Then two are made, one has no room, and the last one is told that it is gone
    And what it tells of its memory is whole and late

  Scenario Outline: a file that can't be played is refused with its fault
    Given an experiment with <fault>
    When it is run from the command line
    Then it ends with exit code 2 and names <named>

    Examples:
      | fault                  | named      |
      | no such scenario       | absent     |
      | a policy of no module  | nowhere    |
      | a constant that is gone | GONE      |
      | a scenario without kinds' service | service |

  Scenario: an experiment prints a line a policy, and draws a picture
    Given an experiment of a small scenario with a naive policy
    When it is run from the command line
    Then it prints ours, the naive one and the bound, and writes both files
